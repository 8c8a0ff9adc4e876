// Prints free ports of 127.0.0.1 for scripts, one a line: free-ports N.

#include "process/port_reservation.h"

#include <iostream>
#include <string>

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: free-ports N\n";
        return 2;
    }
    try {
        // All ports stay reserved until the end, so that none is printed twice.
        buckthornspar::process_test::port_reservation ports;
        for (int i = std::stoi(argv[1]); i > 0; --i) {
            std::cout << ports.take() << "\n";
        }
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 1;
    }
}
