"""Stand-ins for the platform and for backend servers, for tests and demos."""
