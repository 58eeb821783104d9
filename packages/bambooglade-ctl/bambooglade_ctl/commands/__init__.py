"""Commands of the operators' binary, one module a group."""
