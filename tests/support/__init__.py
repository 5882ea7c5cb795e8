"""Helpers that several test modules and the test run share."""
