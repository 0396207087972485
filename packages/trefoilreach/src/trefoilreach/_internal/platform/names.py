"""Names on the platform's wire; nothing outside this package uses them."""

# Headers that this system reads or sets.
REQUEST_ID = "X-Request-Id"
TIME_LEFT_MS = "X-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
RECEIPT = "X-Response-Signature"
ACCOUNT = "X-Tenant"
# The worker that must run the request; any other answers 421.
EXPECTED_WORKER = "X-Target-Instance"
NOT_RUN = "X-Not-Executed"

# Header of all bodies but those of workers.
JSON = ("Content-Type", "application/json")

# Calls that arrive here.
READY_PATH = "/trefoilreach/ready"
RESOLVE_PATH = "/trefoilreach/resolve"
JOB_PATH = "/trefoilreach/lots/"
ITEM_PATH = "/trefoilreach/items/"

# A worker's statement of its load.
LOAD_PATH = "/trefoilreach/report"

# Calls to the store.
ROWS_READ = "/trefoilreach/rows-get"
ROWS_COMMIT = "/trefoilreach/rows-tx"
ROWS_FEED = "/trefoilreach/rows-feed"
BLOB_PUT = "/trefoilreach/blob-put/"
BLOB_GET = "/trefoilreach/blob-get/"
BLOB_DROP = "/trefoilreach/blob-drop/"

# Tables that the operator and the workers write.
OPERATOR_TABLE = "op"
DESIRED_STATE_KEY = "config"
WORKER_TABLE = "servers"
