"""Decisions under load: prediction, placement and admission; without I/O.

Nothing here imports `bambooglade.gateway` or `bambooglade.router`, so that the
gateway and the project's own interface can share it.
"""
