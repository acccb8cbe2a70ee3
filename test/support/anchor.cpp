// Gives the test support library an object file while it consists of headers only.

namespace cornelshed::testing {
extern const int supportAnchor;
const int supportAnchor = 0;
} // namespace cornelshed::testing
