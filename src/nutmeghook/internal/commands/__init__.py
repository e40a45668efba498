"""Commands of `nutmeghook` other than `serve` and `admin`."""
