// Entry point of every test program; kept apart because compiling it takes seconds.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
