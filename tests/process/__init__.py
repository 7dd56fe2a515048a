"""Tests of currantshore (process)."""
