"""What an instance holds for its clients' connections, on every listener."""
