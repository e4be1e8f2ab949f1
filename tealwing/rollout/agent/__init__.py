"""What one gateway does in a rollout; pure. Read view, actions, retry, permit, then machine."""
