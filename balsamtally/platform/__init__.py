"""Adapter to the operators' platform; only this package knows the platform's names and formats."""
