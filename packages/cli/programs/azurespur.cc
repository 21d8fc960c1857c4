// The program `azurespur`.

#include <iostream>
#include <string>
#include <vector>

#include "cli/run.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return azurespur::cli::Run(args, {std::cin, std::cout, std::cerr});
}
