// Entry point of the ebonywick binary.
#include "commandline.h"
#include "exitcodes.h"

#include <cstdio>
#include <exception>

int main(int argc, char** argv)
{
    try {
        return ebonywick::run_command_line({argv + 1, argv + argc});
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "ebonywick: %s\n", ex.what());
        return ebonywick::exit_codes::other;
    }
}
