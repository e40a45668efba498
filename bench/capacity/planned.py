"""The size to design for, and its budgets.

The first block is the users' plan. The second contains assumptions where the
plan says nothing; the page lists them as such.
"""

NODES = 420
REPLICAS = 4400
REQUESTS_PER_S = 8400
TOKENS_PER_S = 1_800_000
VERSIONS = 13
REGIONS = 3
DATA_CENTRES = 9
CHANGES_PER_DAY = 3700
FAILURES_PER_DAY = 89
REPLACEMENTS_PER_DAY = 360

CONTROL_CPU_PERCENT = 4.6
CONTROL_MEMORY_MB = 128.0
CONTROL_BYTES_PER_S = 3000.0
IN_FORCE_S = 4.0
FIRST_TOKEN_S = 0.39
TOKEN_GAP_S = 0.034
# The plan says "several hundred"; this is the stand-in's limit.
TABLE_WRITES_PER_S = 400.0
TABLE_READS_PER_S = 2000.0

# Assumptions. Every request has a caller's key and every second one a session,
# which is the most expensive mix for claims.
KEYED_SHARE = 1.0
SESSION_SHARE = 0.5
TEMPLATES = 3000
CONCURRENT_ROLL_OUTS = 10
# As recommended in docs/design/ledger.md for this size.
PARTITIONS = 64
OTHER_LEASES = 3
# The rest is left to the engine's queue and prefill, and to the network.
OWN_SHARE_OF_FIRST_TOKEN = 0.5
# A rack is a tenth of a data centre.
RACK_SHARE = 0.1

SECONDS_PER_DAY = 86_400
MB = 1e6

# A failure removes a line and adds one; a replacement first marks the line as
# leaving.
LIST_CHANGES_PER_S = (
    2 * FAILURES_PER_DAY + 3 * REPLACEMENTS_PER_DAY
) / SECONDS_PER_DAY
CHANGES_PER_S = CHANGES_PER_DAY / SECONDS_PER_DAY
LEASES = PARTITIONS + OTHER_LEASES
NODE_REQUESTS_PER_S = REQUESTS_PER_S / NODES
NODE_TOKENS_PER_S = TOKENS_PER_S / NODES
TOKENS_PER_REQUEST = TOKENS_PER_S / REQUESTS_PER_S
# A stream is open until the first token and for the gaps between the others.
STREAM_S = FIRST_TOKEN_S + TOKENS_PER_REQUEST * TOKEN_GAP_S
NODE_STREAMS = NODE_REQUESTS_PER_S * STREAM_S
# A claim, if the request has a key, and a bill.
RECORDS_PER_S = REQUESTS_PER_S * (1 + KEYED_SHARE)
