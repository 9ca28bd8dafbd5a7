"""At which software version a stream began, and so at which one it may go on.

What two versions of an endpoint's software write does not fit together.
"""
