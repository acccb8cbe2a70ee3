// Entry point of all test programs. It is compiled once, into an object that they share, because
// the implementation of doctest takes seconds to compile.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
