"""Tests of true processes under clients that don't behave; run one at a time."""
