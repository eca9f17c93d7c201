"""Stand-ins for runners, plain services and the platform."""
