"""Recognizes, counts and stops requests that crash the engines that run them."""
