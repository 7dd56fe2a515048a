"""Tests of currantshore (stateful)."""
