"""Names in the store that are made from ids which callers choose freely."""

import hashlib

# Two of 10^15 names have the same digest with a probability of 10^-18.
_DIGEST_BYTES = 20


def digest_texts(*texts: str) -> str:
    """Return a digest that no other series of texts has."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in texts:
        data = text.encode(errors="surrogatepass")
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()
