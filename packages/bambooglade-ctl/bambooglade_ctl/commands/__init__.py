"""Commands of `bamboogladectl`, one module per group."""
