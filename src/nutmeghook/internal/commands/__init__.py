"""Commands of `nutmeghook` beside `serve` and `admin`."""
