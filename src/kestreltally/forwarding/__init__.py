"""Passes requests on to daemons that reach endpoints, where this one reaches none.

One hop over a peer is enough to get round most broken paths: Andersen et al.,
"Resilient overlay networks", SOSP 2001.
"""
