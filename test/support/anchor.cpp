// Ensures that the test support library contains at least one object file, which a static library
// needs even if all other support code is in headers.

namespace cornelshed::testing {
extern const int supportAnchor;
const int supportAnchor = 0;
} // namespace cornelshed::testing
