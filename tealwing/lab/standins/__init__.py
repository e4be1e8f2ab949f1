"""Fakes of the gateway's peers on real loopback sockets: engines, a coordinator and a fenced resource."""
