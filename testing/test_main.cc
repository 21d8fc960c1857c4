// Entry point shared by the unit test programs.

#include <glog/logging.h>

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

int main(int argc, char** argv) {
  // Events of random runs would bury the test results.
  FLAGS_minloglevel = google::GLOG_ERROR;
  return doctest::Context(argc, argv).run();
}
