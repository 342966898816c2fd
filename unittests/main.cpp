// Supplies the main function of every test program.
#define BOOST_TEST_MODULE RADISHFLOW_TEST_MODULE
#include <boost/test/unit_test.hpp>
