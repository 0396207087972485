"""Header, path and table names of the platform's wire format, used only in this package."""

# Names of headers that this system reads or sets.
REQUEST_ID = "X-Request-Id"
TIME_LEFT_MS = "X-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
RECEIPT = "X-Response-Signature"
ACCOUNT = "X-Tenant"
# The worker that must run the request; any other answers 421.
EXPECTED_WORKER = "X-Target-Instance"
NOT_RUN = "X-Not-Executed"
# Set in all answers of a worker that leaves.
LEAVING = "Server-Leaving"
# The version of the weights that a caller asks for; a worker with another one answers 421 too.
EXPECTED_VERSION = "X-Expected-Version"

# Marks a submission that a daemon passes on to another, which must not pass it on again.
FORWARDED = "X-Trefoilreach-Forwarded"

# Content type of every body except those that workers return.
JSON = ("Content-Type", "application/json")

# Paths that this system serves.
READY_PATH = "/trefoilreach/ready"
RESOLVE_PATH = "/trefoilreach/resolve"
JOB_PATH = "/trefoilreach/lots/"
ITEM_PATH = "/trefoilreach/items/"

# Path at which a worker reports its load.
LOAD_PATH = "/trefoilreach/report"

# Paths of the platform's store.
ROWS_READ = "/trefoilreach/rows-get"
ROWS_COMMIT = "/trefoilreach/rows-tx"
ROWS_FEED = "/trefoilreach/rows-feed"
BLOB_PUT = "/trefoilreach/blob-put/"
BLOB_GET = "/trefoilreach/blob-get/"
BLOB_DROP = "/trefoilreach/blob-drop/"

# Tables that the operator and the workers write, and the row of the desired state.
OPERATOR_TABLE = "op"
DESIRED_STATE_KEY = "config"
WORKER_TABLE = "servers"
