"""Patch the standard library for gevent before any test module is read."""

from gevent import monkey

monkey.patch_all()
