"""One gateway's part in a rollout; pure. Read view, actions, retry, permit, then machine."""
