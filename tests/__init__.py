"""Tests of flamingovalve."""
