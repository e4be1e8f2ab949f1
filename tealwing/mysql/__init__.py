"""The client side: the MySQL protocol, the fields of a request, and the server with its sockets."""
