"""Small fakes of the platform and the targets, with fault injection."""
