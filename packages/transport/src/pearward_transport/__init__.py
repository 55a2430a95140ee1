"""Network connections, on Twisted: peers, callers, the server and the platform's service."""
