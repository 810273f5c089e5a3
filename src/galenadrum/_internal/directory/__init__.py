"""Directory of backend servers, built from their announcements."""
