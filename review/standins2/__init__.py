"""Stand-ins of the second review: the platform, its servers, clients and the operator."""
