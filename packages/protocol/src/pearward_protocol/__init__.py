"""Wire formats of pearward: peer frames and messages, HTTP headers, the platform's JSON.

This package converts between bytes and typed values; it performs no I/O.
"""
