"""The operators' second address: HTTP/1.1 calls for readiness and figures, on threads of its own."""
