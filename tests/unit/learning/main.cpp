#define BOOST_TEST_MODULE learning
#include <boost/test/unit_test.hpp>
