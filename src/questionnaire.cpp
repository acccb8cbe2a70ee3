// Text of the commented answers file that operators fill in.

#include "answers.h"

namespace cornelshed {

std::string questionnaireText()
{
    return R"toml(# Questionnaire of a deployment. Replace the examples by your own answers, then run
#     cornelshed check --answers FILE
#     cornelshed generate --answers FILE --output CONFIGURATION
#     cornelshed accept --configuration CONFIGURATION --platform HOST:PORT --operator NAME
# Names consist of letters, digits and "._-". Unknown keys are errors.

# Name of the deployment.
deployment = "example"

# Availability zones that get no new work at present, such as ["zone-a"]. Remove a name to return
# the zone to service.
withdrawn_zones = []

# Tiers, the one to be served first at the top.
# minimum_share: share of the places kept for the tier while higher tiers are busy; 0 by default.
[[tiers]]
name = "urgent"

[[tiers]]
name = "normal"
minimum_share = 0.05

# Organisations that call, with the highest tier each may use.
# size: small | medium | large; decides its share against the others of the tier (1 : 4 : 16).
[[organisations]]
name = "first-caller"
tier = "urgent"
size = "large"

# Availability zones with backend servers or entry hosts, and the region of each.
[[availability_zones]]
name = "zone-a"
region = "region-one"

# Model engines, one entry for each group of equal servers.
# generation: of the hardware. models: what each server of the group serves.
# checks_fencing: whether the servers reject a command with an old fencing number.
# maximum_concurrency_count: requests at once on one server at most; 64 by default.
[[engines]]
name = "writers"
generation = "first"
models = ["example-model"]
checks_fencing = false
maximum_concurrency_count = 64

# Plain services beside the engines. Remove the entry if there are none.
[[services]]
name = "ledger"
maximum_concurrency_count = 32

# Kinds of requests.
# served_by: engines or services. idempotent: false if running the request twice does harm, such as
# an order or a booking; its callers then have to send an Idempotency-Key.
# usual_deadline_ms: applies if the caller names none. longest_deadline_ms: the most it may name.
[[requests]]
path = "/v1/completions"
served_by = ["writers"]
idempotent = true
usual_deadline_ms = 30000
longest_deadline_ms = 300000

[[requests]]
path = "/orders"
served_by = ["ledger"]
idempotent = false
usual_deadline_ms = 5000
longest_deadline_ms = 30000

# New versions to be rolled out. A name is used once in the life of the deployment.
# requests: paths that move; leave it out to move all of the pool's.
# deadline: all of the traffic is on the new version by then, in UTC.
# largest_unproven_share: share of the requests that may go to the version until it is proven.
#
# [[rollouts]]
# name = "writers-2"
# pool = "writers"
# from_version = "1"
# to_version = "2"
# deadline = "2026-12-24T18:00:00Z"
# largest_unproven_share = 0.05
)toml";
}

} // namespace cornelshed
