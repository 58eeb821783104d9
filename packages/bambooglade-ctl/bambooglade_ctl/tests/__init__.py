"""Tests of `bambooglade_ctl`."""
