"""Wire formats of pearward: peer frames and messages, HTTP headers, the platform's JSON.

Nothing here opens a socket: bytes go in, typed values come out, and the reverse.
"""
