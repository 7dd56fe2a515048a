"""Tests of currantshore (tests)."""
