#include "cli/tool.h"

#include <csignal>
#include <iostream>

auto main(int argc, char** argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> words{argv + 1, argv + argc};
    return static_cast<int>(cornelswitch::run_tool(words, std::cout, std::cerr));
}
