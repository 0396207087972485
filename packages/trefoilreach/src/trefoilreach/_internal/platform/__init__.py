"""Translation between the platform's wire formats and the product's own types."""
