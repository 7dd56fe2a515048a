"""Tests of currantshore (contract)."""
