"""Requests that end the engines that run them: known again, counted, and stopped."""
