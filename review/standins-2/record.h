#pragma once

#include <fstream>
#include <string>

namespace review {

/// What was sent, answered and run, with the time in milliseconds since the start.
class record {
public:
    explicit record(const std::string& path) : m_file(path) {}
    void write(const std::string& line);

private:
    std::ofstream m_file;
};

} // namespace review
