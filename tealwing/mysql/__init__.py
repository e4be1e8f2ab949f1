"""The clients' side: MySQL packets, the fields of a request, and the server on its sockets."""
