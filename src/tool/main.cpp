#include "tool/toolmain.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return guavavalve::runTool(arguments, std::cout, std::cerr);
}
