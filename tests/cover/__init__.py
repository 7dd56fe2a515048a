"""Tests of currantshore (cover)."""
