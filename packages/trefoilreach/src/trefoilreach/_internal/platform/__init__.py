"""Translation between the platform's wire formats and the internal types of this system."""
