"""Clock, errors and identifiers; imports nothing from the other packages."""
