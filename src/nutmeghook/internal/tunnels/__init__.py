"""Connections to replicas that a peer carries for a cut-off instance."""
