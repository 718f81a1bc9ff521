// Entry point of the unit tests.
// NOLINTNEXTLINE(readability-identifier-naming): doctest's own macro
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
