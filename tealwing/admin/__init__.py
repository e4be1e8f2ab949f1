"""The admin address for operators: HTTP/1.1 calls for readiness and metrics, on threads of their own."""
